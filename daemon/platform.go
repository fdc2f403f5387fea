package daemon

import (
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpgroup"
	"samphirehitch.example/samphirehitch/process/platform/httpinstances"
	"samphirehitch.example/samphirehitch/process/settings"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/httpstore"
)

// Platform holds the clients of the platform's services that a daemon uses.
type Platform struct {
	Store     store.Store
	Instances platform.Instances
	Groups    platform.Groups
}

// Dial returns clients for the platform that the settings name. They connect on first
// use.
func Dial(s *settings.Settings) Platform {
	return Platform{
		Store:     httpstore.New(s.Store.Address),
		Instances: httpinstances.New(s.Store.Address),
		Groups:    httpgroup.New(),
	}
}
