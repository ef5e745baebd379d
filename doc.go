// Package hibiscusvane holds the domain types and the interfaces of the
// hibiscusvane scheduler. The implementations are in the packages below it;
// docs/design.md describes the modules.
package hibiscusvane
