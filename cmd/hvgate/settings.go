package main

import (
	"math"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvadmit"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvhttp"
)

// operatorName is the name of operators in metrics.
const operatorName = "operator"

// auth maps tokens to callers and operators by the settings in effect.
type auth struct {
	mu        sync.RWMutex
	callers   *hvhttp.TokenTable
	operators *hvhttp.TokenTable
	// publishedToken authenticates operators; while it is empty, localToken does.
	publishedToken string
	localToken     string
}

func newAuth(local string) *auth {
	return &auth{localToken: local, callers: hvhttp.NewTokenTable(nil), operators: operatorTable(local)}
}

func operatorTable(token string) *hvhttp.TokenTable {
	return hvhttp.NewTokenTable(map[string]string{token: operatorName})
}

func (a *auth) applySettings(s *hvconf.Settings) {
	tokens := map[string]string{}
	for name, c := range s.Callers {
		tokens[c.Token] = name
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers, a.publishedToken = hvhttp.NewTokenTable(tokens), s.Admin.Token
	a.updateOperators()
}

func (a *auth) setLocalToken(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.localToken = token
	a.updateOperators()
}

// updateOperators selects the token of operators. The caller holds mu.
func (a *auth) updateOperators() {
	token := a.publishedToken
	if token == "" {
		token = a.localToken
	}
	a.operators = operatorTable(token)
}

func (a *auth) caller(token string) (string, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.callers.Lookup(token)
}

func (a *auth) operator(token string) (string, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.operators.Lookup(token)
}

const (
	// weightScale converts weights of the settings, which may be fractions, to
	// integers.
	weightScale = 100
	floorScale  = 1000
)

// admitSettings converts the sections classes and callers of the settings.
func admitSettings(s *hvconf.Settings) hvadmit.Settings {
	settings := hvadmit.DefaultSettings()
	settings.Callers = map[string]hvadmit.CallerSettings{}
	settings.DefaultCaller.Weight = weightScale
	for _, name := range hv.Classes {
		if c, ok := s.Classes[name]; ok {
			settings.Classes[name] = hvadmit.ClassSettings{
				Weight: scaledWeight(c.Weight), Floor: thousandths(c.Floor), QueueLimit: c.QueueLimit, DefaultDeadline: c.DefaultDeadline,
			}
		}
	}
	for name, c := range s.Callers {
		settings.Callers[name] = hvadmit.CallerSettings{Weight: scaledWeight(c.Weight), Floor: thousandths(c.Floor)}
	}
	return settings
}

func scaledWeight(w float64) int { return max(1, int(math.Round(w*weightScale))) }

func thousandths(f float64) int { return int(f * floorScale) }
