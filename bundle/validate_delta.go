package bundle

import "slices"

// validateChange checks b, which d made of a valid parent, and finds a problem
// exactly when Validate does. At the design size Validate takes tens of
// milliseconds, and 41,000 changes a day would cost every daemon a third of
// its processor share; nearly all of them touch one upstream or team.
func validateChange(b *Bundle, d Delta) error {
	p := &problems{}
	for _, op := range d.Ops {
		switch op.Section {
		case SectionPool, SectionClass:
			return Validate(b) // other entries refer to it
		case SectionPolicy:
			validatePolicy(p, b.Policy)
			continue
		}
		if op.Action == Remove {
			continue // nothing refers to it
		}
		validateEntry(p, b, op)
	}
	return p.err()
}

// validateEntry checks one changed entry, if a later op has not removed it.
func validateEntry(p *problems, b *Bundle, op Op) {
	switch op.Section {
	case SectionModel:
		one(p, b, b.Models, op.Name, validateModel)
	case SectionService:
		one(p, b, b.Services, op.Name, validateService)
	case SectionUpstream:
		p.check(len(b.Upstreams) <= MaxUpstreams, "upstreams", "%d exceed the bound of %d", len(b.Upstreams), MaxUpstreams)
		one(p, b, b.Upstreams, op.Name, validateUpstream)
		checkAddress(p, b, op.Name)
	case SectionTeam:
		one(p, b, b.Teams, op.Name, validateTeam)
		checkTeamDigests(p, b, op.Name)
	}
}

func one[V any](p *problems, b *Bundle, entries map[string]V, name string, check func(*problems, *Bundle, string)) {
	if _, ok := entries[name]; ok {
		check(p, b, name)
	}
}

// checkAddress compares one upstream's address with all others.
func checkAddress(p *problems, b *Bundle, name string) {
	u, ok := b.Upstreams[name]
	if !ok {
		return
	}
	for other, v := range b.Upstreams {
		if other != name && v.Address == u.Address {
			p.add("upstreams."+name+".address", "%q is also that of upstream %q", u.Address, other)
		}
	}
}

// checkTeamDigests compares one team's keys with each other and all others.
func checkTeamDigests(p *problems, b *Bundle, name string) {
	digests := b.Teams[name].KeyDigests
	for i, digest := range digests {
		p.check(!slices.Contains(digests[:i], digest), "teams."+name+".key_digests", "a key is listed twice")
		for other, team := range b.Teams {
			if other != name && slices.Contains(team.KeyDigests, digest) {
				p.add("teams."+name+".key_digests", "is also a key of team %q", other)
			}
		}
	}
}
