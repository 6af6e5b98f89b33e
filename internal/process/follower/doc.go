// Package follower runs an entry from a configuration file. It applies the routes,
// services, upstreams and evacuations in the file, and reloads it when it changes or the
// process receives SIGHUP.
package follower
