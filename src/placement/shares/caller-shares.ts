import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../../config/configuration-holder.js'

/** Share of a caller that the configuration doesn't name, and of all requests without a caller together. */
const DEFAULT_SHARE = 1

/** The callers' shares of contended slots, by the configuration. */
@scoped(Lifecycle.ContainerScoped)
export class CallerShares {
  constructor (@inject(ConfigurationHolder) private readonly configuration: Pick<ConfigurationHolder, 'value'>) {}

  /** Returns the weight of the caller's share; undefined where the configuration requires no keys, so that callers aren't known. */
  find (caller: string): number | undefined {
    const { requiresKeys = false, callers } = this.configuration.value
    return requiresKeys ? callers[caller]?.share ?? DEFAULT_SHARE : undefined
  }
}
