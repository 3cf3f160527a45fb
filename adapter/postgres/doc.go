// Package postgres implements the PostgreSQL wire protocol, version 3, towards clients and database servers.
package postgres
