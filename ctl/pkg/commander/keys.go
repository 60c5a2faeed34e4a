package commander

import (
	"crypto/rand"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/keyer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/ctl/pkg/operator"
)

type keysIssue struct {
	*tool `no-flag:"true"`

	Workspace string `long:"workspace" required:"yes" description:"Workspace that requests with the key run for"`
	Wait      bool   `long:"wait" description:"Wait until the key is in force on all nodes"`
}

// Execute implements flags.Commander.
func (c *keysIssue) Execute([]string) error {
	key, err := keyer.New(rand.Reader)
	if err != nil {
		return err
	}
	record := configurer.NewRecord(configurer.IssueKey{
		Key: configurer.Key{ID: key.ID, Workspace: c.Workspace, Digest: key.Digest()},
	})
	batch := operator.Batch{Operation: uuid.NewString(), Changes: []configurer.Record{record}}
	err = c.change(batch, c.Wait)
	var refusal *operator.Refusal
	switch {
	case err == nil, errors.Is(err, errNotInForce):
		return errors.CombineErrors(err, c.print("key %s\n%s\n", key.ID, key.Reveal()))
	case errors.As(err, &refusal):
		return err
	default:
		return errors.Wrapf(err, "key %s may be in force though it was not shown; withdraw it", key.ID)
	}
}

type keysWithdraw struct {
	*tool `no-flag:"true"`

	Arguments struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. A withdrawal commutes with every other change, so each control process is asked
// to take it, and the ones that were not reached are named.
func (c *keysWithdraw) Execute([]string) error {
	caller, err := c.operator()
	if err != nil {
		return err
	}
	record := configurer.NewRecord(configurer.WithdrawKey{ID: c.Arguments.ID})
	batch := operator.Batch{Operation: uuid.NewString(), Changes: []configurer.Record{record}}
	var taken, missed int
	err = c.watch("withdrawing", func() error {
		results, err := caller.ChangeEach(c.ctx, batch)
		for _, result := range results {
			var refusal *operator.Refusal
			switch {
			case result.Err == nil:
				taken++
				err = c.print("%s: accepted in version %d\n", result.Address, result.Reply.Version)
			case errors.As(result.Err, &refusal) && refusal.Kind == refuser.LeaderUnknown:
				err = c.print("%s: reached, follows another process\n", result.Address)
			case errors.As(result.Err, &refusal):
				err = errors.CombineErrors(err, result.Err)
			default:
				missed++
				err = c.print("%s: not reached: %v\n", result.Address, result.Err)
			}
		}
		return err
	})
	switch {
	case err != nil:
		return err
	case taken == 0:
		return errors.New("no control process took the withdrawal: the key may still work everywhere; send it again")
	case missed > 0:
		return errors.Wrapf(errNotInForce, "%d control processes were not reached: the key may work where only they are heard", missed)
	default:
		return nil
	}
}
