package main

import (
	"math"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvadmit"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvhttp"
)

// operatorName is the name under which operators appear in metrics.
const operatorName = "operator"

// auth maps tokens to callers and operators by the settings in force.
type auth struct {
	mu      sync.RWMutex
	callers *hvhttp.TokenTable
	admin   *hvhttp.TokenTable
	// published admits operators; while it is empty, local does.
	published string
	local     string
}

func newAuth(local string) *auth {
	return &auth{local: local, callers: hvhttp.NewTokenTable(nil), admin: operators(local)}
}

func operators(token string) *hvhttp.TokenTable {
	return hvhttp.NewTokenTable(map[string]string{token: operatorName})
}

func (a *auth) set(s *hvconf.Settings) {
	tokens := map[string]string{}
	for name, c := range s.Callers {
		tokens[c.Token] = name
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers, a.published = hvhttp.NewTokenTable(tokens), s.Admin.Token
	a.refresh()
}

func (a *auth) setLocal(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.local = token
	a.refresh()
}

// refresh chooses the token of operators. The caller holds mu.
func (a *auth) refresh() {
	token := a.published
	if token == "" {
		token = a.local
	}
	a.admin = operators(token)
}

func (a *auth) caller(token string) (string, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.callers.Lookup(token)
}

func (a *auth) operator(token string) (string, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.admin.Lookup(token)
}

const (
	// weightUnit turns weights of the settings, which may be fractions, into
	// whole numbers.
	weightUnit = 100
	thousand   = 1000
)

// admitSettings translates the sections classes and callers.
func admitSettings(s *hvconf.Settings) hvadmit.Settings {
	set := hvadmit.DefaultSettings()
	set.Callers = map[string]hvadmit.CallerSettings{}
	set.DefaultCaller.Weight = weightUnit
	for _, name := range hv.Classes {
		if c, ok := s.Classes[name]; ok {
			set.Classes[name] = hvadmit.ClassSettings{
				Weight: weight(c.Weight), Floor: thousandths(c.Floor), QueueLimit: c.QueueLimit, DefaultDeadline: c.DefaultDeadline,
			}
		}
	}
	for name, c := range s.Callers {
		set.Callers[name] = hvadmit.CallerSettings{Weight: weight(c.Weight), Floor: thousandths(c.Floor)}
	}
	return set
}

func weight(w float64) int { return max(1, int(math.Round(w*weightUnit))) }

func thousandths(f float64) int { return int(f * thousand) }
