package main

import (
	"net/url"

	hv "hibiscusvane.example/hibiscusvane"
)

func getVerb(word string, kind hv.Kind) verb {
	return verb{
		name: word + " show", args: "ID", usage: "Show one of your " + word,
		parse: func(c *command) (work, error) { return parseGet(c, kind) },
	}
}

func parseGet(c *command, kind hv.Kind) (work, error) {
	args, cl, err := c.online(nil, 1, 1)
	if err != nil {
		return nil, err
	}
	return newDocument(cl, paths[kind]+"/"+url.PathEscape(args[0])), nil
}
