// Package hibiscusvane holds the domain types and the interfaces of the
// hibiscusvane scheduler. Implementations are in the packages below it;
// docs/design.md describes the modules.
package hibiscusvane
