// Package postgres speaks PostgreSQL protocol 3 to callers and to database servers.
package postgres
