package main

import "net/url"

var explainVerb = verb{name: "explain", args: "TASK", usage: "Say why a task waits, runs where it does, or ended", parse: parseExplain}

func parseExplain(c *command) (action, error) {
	args, cl, err := c.parseRemote(nil, 1, 1)
	if err != nil {
		return nil, err
	}
	return newDocument(cl, "/admin/explain/"+url.PathEscape(args[0])), nil
}
