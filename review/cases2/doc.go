// Package cases2 holds the stand-ins and the checks of the scripts in review/6 to review/10. It consists of
// tests only, with the build tag review2: review/build-2.sh builds them into one program.
package cases2
