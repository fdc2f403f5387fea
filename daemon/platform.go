package daemon

import (
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpgroup"
	"samphirehitch.example/samphirehitch/process/platform/httpinstances"
	"samphirehitch.example/samphirehitch/process/settings"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/httpstore"
)

// Platform is what the platform gives to a daemon.
type Platform struct {
	Store     store.Store
	Instances platform.Instances
	Groups    platform.Groups
}

// Dial returns the platform that the settings name. Nothing is connected yet.
func Dial(s *settings.Settings) Platform {
	return Platform{
		Store:     httpstore.New(s.Store.Address),
		Instances: httpinstances.New(s.Store.Address),
		Groups:    httpgroup.New(),
	}
}
