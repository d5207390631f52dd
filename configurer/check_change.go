package configurer

import "fmt"

// CheckChange returns the faults of replacing a set that is in force by
// another one, which Check is to pass first. A service that stays must keep a
// majority of its databases: only a majority is sure to hold every
// acknowledged write.
func CheckChange(inForce, next Set) []Fault {
	var faults []Fault
	for _, service := range sorted(inForce.Services) {
		if _, stays := next.Services[service.key]; !stays {
			continue
		}
		count, kept := 0, 0
		for _, d := range inForce.Databases {
			if d.Service != service.key {
				continue
			}
			count++
			if next.Databases[d.Name].Service == service.key {
				kept++
			}
		}
		if 2*kept <= count {
			faults = append(faults, Fault{
				Kind: "service", Name: service.key,
				Message: fmt.Sprintf("keeps %d of %d databases, which is no majority and may lose acknowledged writes", kept, count),
			})
		}
	}
	return faults
}
