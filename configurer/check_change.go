package configurer

import "fmt"

// CheckChange returns the violations of replacing the current configuration by the
// next one, which must have passed Check. A service that remains must keep a
// majority of its databases, since only a majority is certain to include every
// acknowledged write.
func CheckChange(current, next Config) []Violation {
	var violations []Violation
	for _, service := range sortedEntries(current.Services) {
		if _, remains := next.Services[service.key]; !remains {
			continue
		}
		count, kept := 0, 0
		for _, d := range current.Databases {
			if d.Service != service.key {
				continue
			}
			count++
			if next.Databases[d.Name].Service == service.key {
				kept++
			}
		}
		if 2*kept <= count {
			violations = append(violations, Violation{
				Kind: "service", Name: service.key,
				Message: fmt.Sprintf("keeps %d of %d databases, which is no majority and may lose acknowledged writes", kept, count),
			})
		}
	}
	return violations
}
