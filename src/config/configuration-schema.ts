import type { Caller } from './caller.js'
import type { Configuration } from './configuration.js'
import type { KeySchema } from './key-schema.js'
import type { KeySchemas } from './key-schemas.js'
import type { JobTerms } from './job-terms.js'
import type { Limits } from './limits.js'
import type { Model } from './model.js'
import type { Placement } from './placement.js'
import type { Route } from './route.js'
import type { Service } from './service.js'
import type { WeightedService } from './weighted-service.js'

const SECOND = 1_000
const MINUTE = 60 * SECOND
const HOUR = 60 * MINUTE
const DAY = 24 * HOUR
const MAX_CALLERS = 20_000
const MAX_SERVICES = 1_000
const MAX_TOKENS_PER_CALLER = 16
const MAX_PLACED_MODELS = 100
const MAX_ROUTES = 20_000
const MAX_SERVICES_PER_ROUTE = 100
const PATH_PREFIX = /^\/(.*\/)?$/
const TOKEN_HASH = /^[0-9a-f]{64}$/

const model: KeySchemas<Model> = {
  firstToken: { type: 'number', unit: 'ms', whole: false, min: 1, max: 10 * MINUTE, doc: 'Target for the time to first token, at the 95th percentile.' },
  betweenTokens: { type: 'number', unit: 'ms', whole: false, min: 1, max: MINUTE, doc: 'Target for the time between tokens, at the 95th percentile.' },
  maxInFlight: { type: 'number', unit: 'sequences', whole: true, min: 1, max: 10_000, doc: 'Sequences an engine may have in flight, online and batch together.' },
  resume: { type: 'boolean', default: false, doc: 'Whether its engines go on with an answer from the tokens in `resume_from`.' }
}

const service: KeySchemas<Service> = {
  kind: { type: 'choice', of: ['model', 'plain'], doc: 'Whether engines serve it with a model, or plain HTTP services.' },
  pool: { type: 'text', minLength: 1, doc: 'Pool of the instances that serve it, as the platform\'s instance list names it.' },
  model: { type: 'text', optional: true, doc: 'Name of its model; only for the kind `model`, and needed there.' },
  idempotent: { type: 'boolean', defaultBy: { key: 'kind', values: { model: true, plain: false } }, doc: 'Whether its calls may be repeated.' }
}

const caller: KeySchemas<Caller> = {
  share: { type: 'number', unit: 'weight', whole: false, min: 0.001, max: 1_000_000, default: 1, doc: 'Weight of its share when all are busy.' },
  team: { type: 'text', minLength: 1, maxLength: 100, optional: true, doc: 'Team, desk or organisation that reports add it up under.' },
  tokens: { type: 'list', maxItems: MAX_TOKENS_PER_CALLER, of: { type: 'text', pattern: TOKEN_HASH, doc: 'SHA-256 in lower-case hex.' }, doc: 'SHA-256 of each of its bearer tokens, in lower-case hex.' }
}

const limits: KeySchemas<Limits> = {
  bodyBytes: { type: 'number', unit: 'bytes', whole: true, min: 1_000, max: 100_000_000, default: 1_000_000, doc: 'Largest body of an online request.' },
  fileBytes: { type: 'number', unit: 'bytes', whole: true, min: 1_000, max: 2_000_000_000, default: 200_000_000, doc: 'Largest file of batch items.' },
  queueWait: { type: 'number', unit: 'ms', whole: false, min: 0, max: MINUTE, default: 500, doc: 'Longest wait for a place on a server before an online request is refused.' },
  deadline: { type: 'number', unit: 'ms', whole: false, min: 100, max: HOUR, default: MINUTE, doc: 'Longest time an online request may take in all.' },
  addressKeep: { type: 'number', unit: 'ms', whole: false, min: 100, max: 10 * MINUTE, default: 5 * SECOND, doc: 'How long a caller may keep an answer of /v1/addresses.' },
  resultKeep: { type: 'number', unit: 'ms', whole: false, min: HOUR, max: 366 * DAY, default: 30 * DAY, doc: 'How long a batch job and its results stay after they were read.' }
}

const placement: KeySchemas<Placement> = {
  models: { type: 'list', maxItems: MAX_PLACED_MODELS, of: { type: 'text', minLength: 1, doc: 'Name that the servers know it by.' }, doc: 'Models, adapters and versions to have loaded, the most important first.' },
  role: { type: 'text', minLength: 1, optional: true, doc: 'Role of the servers; theirs to choose where it is left out.' },
  checksFencing: { type: 'boolean', default: false, doc: 'Whether the servers refuse an order with an old fencing number.' },
  leaving: { type: 'list', maxItems: MAX_SERVICES, optional: true, of: { type: 'text', minLength: 1, doc: 'Name of an instance.' }, doc: 'Servers that are to get no new work.' }
}

const weightedService: KeySchemas<WeightedService> = {
  service: { type: 'text', minLength: 1, doc: 'Name of the service.' },
  weight: { type: 'number', unit: 'weight', whole: false, min: 0, max: 1_000_000, default: 1, doc: 'Its part of the sum of all weights of the route.' }
}

const jobTerms: KeySchemas<JobTerms> = {
  dueAfter: { type: 'number', unit: 'ms', whole: false, min: 1, max: 30 * DAY, doc: 'From the first submission of a job until all results are due.' },
  giveUpAfter: { type: 'number', unit: 'ms', whole: false, min: 0, max: 30 * DAY, default: 0, doc: 'From the first submission until an item may be given up; 0 where it may not.' },
  maxWaitingTokens: { type: 'number', unit: 'tokens', whole: true, min: 0, max: 1_000_000_000_000, default: 0, doc: 'Tokens of unfinished items that all callers together may have; 0 for no limit.' }
}

const route: KeySchemas<Route> = {
  host: { type: 'text', minLength: 1, doc: 'Value of the `Host` header.' },
  pathPrefix: { type: 'text', pattern: PATH_PREFIX, doc: 'Beginning of the path; it begins and ends with a slash. The longest that fits is taken.' },
  services: { type: 'list', maxItems: MAX_SERVICES_PER_ROUTE, of: { type: 'object', keys: weightedService, doc: 'One service.' }, doc: 'Services that its requests are split over.' },
  streamed: { type: 'boolean', default: false, doc: 'Whether its answers are streams of events.' },
  idempotent: { type: 'boolean', default: false, doc: 'Whether a request may run more than once.' },
  resumable: { type: 'boolean', default: false, doc: 'Whether a stream may go on at another server after the last event that was relayed.' },
  attempts: { type: 'number', unit: 'servers', whole: true, min: 1, max: 100, default: 2, doc: 'Servers that may run one request.' },
  timeout: { type: 'number', unit: 'ms', whole: false, min: 0, max: DAY, default: 0, doc: 'Longest time that a caller is kept waiting for a whole answer; 0 for no limit of its own.' },
  target: { type: 'number', unit: 'ms', whole: false, min: 1, max: DAY, default: SECOND, doc: 'Target for the answer, or for the first event of a stream.' },
  silence: { type: 'number', unit: 'ms', whole: false, min: 1, max: DAY, optional: true, doc: 'How long callers of a stream wait without an event before they leave; for as long as they say where it is left out.' },
  priority: { type: 'number', unit: 'rank', whole: true, min: 0, max: 1_000, default: 0, doc: '0 is the highest.' },
  jobs: { type: 'object', optional: true, keys: jobTerms, doc: 'Terms of the jobs it takes.' }
}

const configuration: KeySchemas<Omit<Configuration, 'version'>> = {
  services: { type: 'map', maxKeys: MAX_SERVICES, of: { type: 'object', keys: service, doc: 'One service.' }, doc: 'Services that callers name.' },
  models: { type: 'map', maxKeys: MAX_SERVICES, of: { type: 'object', keys: model, doc: 'One model.' }, doc: 'Models that engines serve.' },
  callers: { type: 'map', maxKeys: MAX_CALLERS, of: { type: 'object', keys: caller, doc: 'One caller.' }, doc: 'Who may ask, and for how much of the fleet.' },
  limits: { type: 'object', keys: limits, doc: 'Limits that hold for every caller.' },
  placement: { type: 'map', maxKeys: MAX_SERVICES, of: { type: 'object', keys: placement, doc: 'One pool.' }, doc: 'What the servers of each pool are to have loaded.' },
  routes: { type: 'map', maxKeys: MAX_ROUTES, of: { type: 'object', keys: route, doc: 'One route.' }, doc: 'Where requests by host and path go.' }
}

/** Every key of the operators' folder. */
export const configurationSchema: KeySchema = { type: 'object', keys: configuration, doc: 'The configuration.' }
