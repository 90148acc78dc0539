import type { InjectionToken } from 'tsyringe'
import type { EntryDialect } from '../entry/entry-dialect.js'
import type { RoutedSettings } from '../entry/routed-settings.js'
import type { EarlyServer } from '../http/early-server.js'
import type { ServerDialect } from '../routing/exchanges/server-dialect.js'
import type { Clock } from './clock.js'
import type { QuotaTerms } from '../quota/quota-terms.js'
import type { Random } from './random.js'
import type { Settings } from './settings.js'
import type { PlatformClient } from '../store/platform-client.js'
import type { ObjectStore } from '../store/object-store.js'
import type { LogSink } from '../observe/log-sink.js'

/** Injection tokens for interfaces and for values that tests replace. */
export const tokens = {
  clock: Symbol('clock') as InjectionToken<Clock>,
  random: Symbol('random') as InjectionToken<Random>,
  settings: Symbol('settings') as InjectionToken<Settings>,
  store: Symbol('store') as InjectionToken<ObjectStore>,
  /** The client behind `store`, which can relay calls through peers. */
  storeClient: Symbol('store client') as InjectionToken<PlatformClient>,
  log: Symbol('log') as InjectionToken<LogSink>,
  /** For the entry that routes requests by host and path: formats of its callers and of its servers, and its settings. */
  entryDialect: Symbol('door') as InjectionToken<EntryDialect>,
  serverDialect: Symbol('servers') as InjectionToken<ServerDialect>,
  routedSettings: Symbol('routed') as InjectionToken<RoutedSettings>,
  quotaTerms: Symbol('quota terms') as InjectionToken<QuotaTerms>,
  /** The server that listens for that entry already, if any. */
  earlyServer: Symbol('early') as InjectionToken<EarlyServer | undefined>
}
