package main

import (
	"net/url"

	hv "hibiscusvane.example/hibiscusvane"
)

func getVerb(word string, kind hv.Kind) verb {
	return verb{
		name: word + " show", args: "ID", usage: "Show one of your " + word,
		parse: func(c *command) (action, error) { return parseGet(c, kind) },
	}
}

func parseGet(c *command, kind hv.Kind) (action, error) {
	args, cl, err := c.parseRemote(nil, 1, 1)
	if err != nil {
		return nil, err
	}
	return newDocument(cl, taskPaths[kind]+"/"+url.PathEscape(args[0])), nil
}
