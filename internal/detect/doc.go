// Package detect judges backend servers, and paths to host nodes, by the
// results of real requests.
package detect
