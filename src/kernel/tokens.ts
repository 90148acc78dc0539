import type { InjectionToken } from 'tsyringe'
import type { EntryDialect } from '../entry/entry-dialect.js'
import type { RoutedSettings } from '../entry/routed-settings.js'
import type { EarlyServer } from '../http/early-server.js'
import type { ServerDialect } from '../routing/server-dialect.js'
import type { Clock } from './clock.js'
import type { Random } from './random.js'
import type { Settings } from './settings.js'
import type { PlatformClient } from '../store/platform-client.js'
import type { ObjectStore } from '../store/object-store.js'
import type { LogSink } from '../observe/log-sink.js'

/** Injection tokens of what isn't a class of its own: interfaces that a test replaces. */
export const tokens = {
  clock: Symbol('clock') as InjectionToken<Clock>,
  random: Symbol('random') as InjectionToken<Random>,
  settings: Symbol('settings') as InjectionToken<Settings>,
  store: Symbol('store') as InjectionToken<ObjectStore>,
  /** The client behind `store`, where calls may go by way of peers. */
  storeClient: Symbol('store client') as InjectionToken<PlatformClient>,
  log: Symbol('log') as InjectionToken<LogSink>,
  /** How callers speak to the door for requests by host and path, how its servers are spoken to, and where it listens. */
  entryDialect: Symbol('door') as InjectionToken<EntryDialect>,
  serverDialect: Symbol('servers') as InjectionToken<ServerDialect>,
  routedSettings: Symbol('routed') as InjectionToken<RoutedSettings>,
  /** What listens at that door already, where anything does. */
  earlyServer: Symbol('early') as InjectionToken<EarlyServer | undefined>
}
