import type { Seed } from '../kernel/seed.js'
import type { Settings } from '../kernel/settings.js'
import type { KeySchema } from './key-schema.js'
import type { KeySchemas } from './key-schemas.js'

const MAX_PORT = 65_535
const MIN_SECRET_LENGTH = 16
const MAX_SEEDS = 32
const PLATFORM_URL = /^https?:\/\/[^/?#]+(\/[^?#]*)?$/

const listen: KeySchemas<Settings['listen']> = {
  host: { type: 'text', minLength: 1, doc: 'IP address to listen on.' },
  port: { type: 'number', unit: 'port', whole: true, min: 0, max: MAX_PORT, doc: 'Port for callers and operators; 0 for a free port.' },
  peerPort: { type: 'number', unit: 'port', whole: true, min: 0, max: MAX_PORT, doc: 'Port for other daemons; 0 for a free port.' }
}

const log: KeySchemas<Settings['log']> = {
  level: { type: 'choice', of: ['error', 'warn', 'info', 'debug'], default: 'info', doc: 'Lowest level that is logged.' },
  format: { type: 'choice', of: ['text', 'json'], default: 'text', doc: 'Format of log lines.' }
}

const batchPolicy: KeySchemas<NonNullable<Settings['batchPolicy']>> = {
  type: { type: 'choice', of: ['none', 'forward', 'static', 'load reports', 'preempting'], default: 'preempting', doc: 'How batch work yields to online requests; all but `preempting` are for comparison.' },
  streams: { type: 'number', unit: 'streams', whole: true, min: 0, max: 10_000, optional: true, doc: 'Batch streams per server, for the type `static`.' },
  longPrompts: { type: 'choice', of: ['paced', 'at once'], default: 'paced', doc: 'For the type `preempting`: whether starts of items with long prompts are paced to limit online tail latency.' }
}

const seed: KeySchemas<Seed> = {
  name: { type: 'text', minLength: 1, maxLength: 100, doc: 'Its instance name.' },
  host: { type: 'text', minLength: 1, doc: 'Its IP address.' },
  peerPort: { type: 'number', unit: 'port', whole: true, min: 1, max: MAX_PORT, doc: 'Its port for other daemons.' },
  failureDomain: { type: 'text', minLength: 1, maxLength: 100, doc: 'Its failure domain.' }
}

const settings: KeySchemas<Settings> = {
  instance: { type: 'text', minLength: 1, maxLength: 100, doc: 'Name of this instance, unique in the fleet.' },
  failureDomain: { type: 'text', minLength: 1, maxLength: 100, doc: 'Failure domain of the instance.' },
  region: { type: 'text', minLength: 1, maxLength: 100, doc: 'Region of the instance.' },
  listen: { type: 'object', keys: listen, doc: 'Address and ports that the daemon listens on.' },
  address: { type: 'text', minLength: 1, optional: true, doc: 'Address at which callers and other daemons reach this instance; `listen.host` if omitted.' },
  platform: { type: 'text', pattern: PLATFORM_URL, doc: 'Base address of the platform\'s object API.' },
  peerKey: { type: 'text', minLength: MIN_SECRET_LENGTH, doc: 'Secret shared by all daemons, with which they authenticate each other.' },
  operatorToken: { type: 'text', minLength: MIN_SECRET_LENGTH, doc: 'Bearer token of operators.' },
  cores: { type: 'number', unit: 'cores', whole: false, min: 0.01, max: 1_000, optional: true, doc: 'Processor time that this daemon may use. Daemons with at least half of the largest in the fleet grant the slots of backend servers; give it for every daemon or for none.' },
  memory: { type: 'number', unit: 'MB', whole: true, min: 100, max: 1_000_000, optional: true, doc: 'Memory that this daemon may use, 200 if omitted. An eighth of it is for what callers send and don\'t read.' },
  descriptors: { type: 'number', unit: 'descriptors', whole: true, min: 300, max: 10_000_000, optional: true, doc: 'Files and connections that this daemon may have open, 4096 if omitted. Half of them are for callers\' connections.' },
  dataFolder: { type: 'text', minLength: 1, optional: true, doc: 'Folder for bulk data, on instances with a disk.' },
  batchPolicy: { type: 'object', optional: true, keys: batchPolicy, doc: 'How batch work shares servers with online requests.' },
  seeds: { type: 'list', maxItems: MAX_SEEDS, optional: true, of: { type: 'object', keys: seed, doc: 'One daemon.' }, doc: 'Other daemons to contact when this one starts while the platform is unavailable; a few in other failure domains are enough.' },
  log: { type: 'object', keys: log, doc: 'Log settings.' }
}

/** Every key of a daemon's own settings file. */
export const settingsSchema: KeySchema = { type: 'object', keys: settings, doc: 'The settings of one daemon.' }
