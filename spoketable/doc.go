// Package spoketable speaks to the platform's transactional table service.
package spoketable
