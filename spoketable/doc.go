// Package spoketable is a client of the platform's transactional table service.
package spoketable
