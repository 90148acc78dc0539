import { inject, Lifecycle, scoped } from 'tsyringe'
import { partRegistry } from '../kernel/part-registry.js'
import { InstanceList } from '../platform/instance-list.js'
import type { Member } from './member.js'

const ENTRY_POOL = 'entry'

/** The daemons of the fleet as this one sees them. */
@scoped(Lifecycle.ContainerScoped)
export class Members {
  constructor (@inject(InstanceList) private readonly list: InstanceList) {}

  /** All daemons that aren't known to be dead, this one among them. */
  all (): readonly Member[] {
    return this.list.all
      .filter(({ pool }) => pool === ENTRY_POOL)
      .map(instance => ({ instance, state: instance.state === 'live' ? 'alive' : 'leaving' }))
  }

  /** Names of the daemons that may own things: alive or suspect, not leaving. */
  owners (): readonly string[] {
    return this.all().filter(({ state }) => state !== 'leaving').map(({ instance }) => instance.name)
  }
}

partRegistry.register({ name: 'members', part: Members, needs: ['instance list'] })
