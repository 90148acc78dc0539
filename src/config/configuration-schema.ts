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
  maxInFlight: { type: 'number', unit: 'sequences', whole: true, min: 1, max: 10_000, doc: 'Most sequences that an engine may have in flight, online and batch together.' },
  resume: { type: 'boolean', default: false, doc: 'Whether its engines can continue an answer from the tokens in `resume_from`.' }
}

const service: KeySchemas<Service> = {
  kind: { type: 'choice', of: ['model', 'plain'], doc: 'Whether engines serve it with a model, or it is a plain HTTP service.' },
  pool: { type: 'text', minLength: 1, doc: 'Pool of the instances that serve it, as named in the platform\'s instance list.' },
  model: { type: 'text', optional: true, doc: 'Name of its model; required for the kind `model`, not allowed otherwise.' },
  idempotent: { type: 'boolean', defaultBy: { key: 'kind', values: { model: true, plain: false } }, doc: 'Whether calls may be repeated.' }
}

const caller: KeySchemas<Caller> = {
  share: { type: 'number', unit: 'weight', whole: false, min: 0.001, max: 1_000_000, default: 1, doc: 'Weight of its share of capacity under contention.' },
  team: { type: 'text', minLength: 1, maxLength: 100, optional: true, doc: 'Team, desk or organisation that reports group it under.' },
  tokens: { type: 'list', maxItems: MAX_TOKENS_PER_CALLER, of: { type: 'text', pattern: TOKEN_HASH, doc: 'SHA-256 in lower-case hex.' }, doc: 'SHA-256 of each of its bearer tokens or keys, in lower-case hex.' },
  priority: { type: 'number', unit: 'rank', whole: true, min: 0, max: 1_000, optional: true, doc: 'Priority of its requests by host and path, before that of the route; 0 is the highest.' },
  rate: { type: 'number', unit: 'requests/s', whole: false, min: 0, max: 1_000_000, optional: true, doc: 'Requests per second over all daemons, by host and path; 0 or omitted for no limit.' },
  burst: { type: 'number', unit: 'requests', whole: false, min: 0, max: 1_000_000, optional: true, doc: 'Requests beyond the rate that may come at once.' }
}

const limits: KeySchemas<Limits> = {
  bodyBytes: { type: 'number', unit: 'bytes', whole: true, min: 1_000, max: 100_000_000, default: 1_000_000, doc: 'Largest body of an online request.' },
  fileBytes: { type: 'number', unit: 'bytes', whole: true, min: 1_000, max: 2_000_000_000, default: 200_000_000, doc: 'Largest file of batch items.' },
  queueWait: { type: 'number', unit: 'ms', whole: false, min: 0, max: MINUTE, default: 500, doc: 'Longest time an online request may queue for capacity before it is refused.' },
  deadline: { type: 'number', unit: 'ms', whole: false, min: 100, max: HOUR, default: MINUTE, doc: 'Longest total time of an online request.' },
  addressKeep: { type: 'number', unit: 'ms', whole: false, min: 100, max: 10 * MINUTE, default: 5 * SECOND, doc: 'How long a caller may cache a response of /v1/addresses.' },
  resultKeep: { type: 'number', unit: 'ms', whole: false, min: HOUR, max: 366 * DAY, default: 30 * DAY, doc: 'How long a batch job and its results are kept after the results were read.' }
}

const placement: KeySchemas<Placement> = {
  models: { type: 'list', maxItems: MAX_PLACED_MODELS, of: { type: 'text', minLength: 1, doc: 'Name that the servers use.' }, doc: 'Models, adapters and versions to load, most important first.' },
  role: { type: 'text', minLength: 1, optional: true, doc: 'Role of the servers; if omitted, each server chooses its own.' },
  checksFencing: { type: 'boolean', default: false, doc: 'Whether the servers refuse orders with an outdated fencing number.' },
  leaving: { type: 'list', maxItems: MAX_SERVICES, optional: true, of: { type: 'text', minLength: 1, doc: 'Name of an instance.' }, doc: 'Servers that receive no new work.' }
}

const weightedService: KeySchemas<WeightedService> = {
  service: { type: 'text', minLength: 1, doc: 'Name of the service.' },
  weight: { type: 'number', unit: 'weight', whole: false, min: 0, max: 1_000_000, default: 1, doc: 'Relative weight among the services of the route.' }
}

const jobTerms: KeySchemas<JobTerms> = {
  dueAfter: { type: 'number', unit: 'ms', whole: false, min: 1, max: 30 * DAY, doc: 'Time from the first submission of a job until all results are due.' },
  giveUpAfter: { type: 'number', unit: 'ms', whole: false, min: 0, max: 30 * DAY, default: 0, doc: 'Time from the first submission after which an item may be abandoned; 0 for never.' },
  maxWaitingTokens: { type: 'number', unit: 'tokens', whole: true, min: 0, max: 1_000_000_000_000, default: 0, doc: 'Most tokens of a caller\'s unfinished items, or of all where requests need no key; 0 for no limit.' }
}

const route: KeySchemas<Route> = {
  host: { type: 'text', minLength: 1, doc: 'Value of the `Host` header.' },
  pathPrefix: { type: 'text', pattern: PATH_PREFIX, doc: 'Prefix of the path; it begins and ends with a slash. The longest matching prefix wins.' },
  services: { type: 'list', maxItems: MAX_SERVICES_PER_ROUTE, of: { type: 'object', keys: weightedService, doc: 'One service.' }, doc: 'Services that its requests are distributed over.' },
  streamed: { type: 'boolean', default: false, doc: 'Whether its answers are streams of events.' },
  idempotent: { type: 'boolean', default: false, doc: 'Whether a request may run more than once.' },
  resumable: { type: 'boolean', default: false, doc: 'Whether a stream may continue at another server after the last relayed event.' },
  attempts: { type: 'number', unit: 'servers', whole: true, min: 1, max: 100, default: 2, doc: 'Most servers that may run one request.' },
  timeout: { type: 'number', unit: 'ms', whole: false, min: 0, max: DAY, default: 0, doc: 'Longest time until the whole answer; 0 for no limit specific to the route.' },
  target: { type: 'number', unit: 'ms', whole: false, min: 1, max: DAY, default: SECOND, doc: 'Latency target for the answer, or for the first event of a stream.' },
  silence: { type: 'number', unit: 'ms', whole: false, min: 1, max: DAY, optional: true, doc: 'How long callers of a stream wait without an event before they disconnect; if omitted, only their own deadline applies.' },
  priority: { type: 'number', unit: 'rank', whole: true, min: 0, max: 1_000, default: 0, doc: 'Priority of its requests; 0 is the highest.' },
  public: { type: 'boolean', default: false, doc: 'Whether its requests need no key.' },
  jobs: { type: 'object', optional: true, keys: jobTerms, doc: 'Terms of its jobs; set only for a route of jobs.' }
}

const configuration: KeySchemas<Omit<Configuration, 'version'>> = {
  services: { type: 'map', maxKeys: MAX_SERVICES, of: { type: 'object', keys: service, doc: 'One service.' }, doc: 'Services that callers request by name.' },
  models: { type: 'map', maxKeys: MAX_SERVICES, of: { type: 'object', keys: model, doc: 'One model.' }, doc: 'Models that engines serve.' },
  callers: { type: 'map', maxKeys: MAX_CALLERS, of: { type: 'object', keys: caller, doc: 'One caller.' }, doc: 'Callers with their credentials and shares.' },
  limits: { type: 'object', keys: limits, doc: 'Limits that apply to every caller.' },
  placement: { type: 'map', maxKeys: MAX_SERVICES, of: { type: 'object', keys: placement, doc: 'One pool.' }, doc: 'Models and role of the servers by pool.' },
  routes: { type: 'map', maxKeys: MAX_ROUTES, of: { type: 'object', keys: route, doc: 'One route.' }, doc: 'Routes of requests by host and path.' },
  requiresKeys: { type: 'boolean', default: false, doc: 'Whether requests by host and path need a caller\'s key, except on public routes.' }
}

/** Every key of the operators' folder. */
export const configurationSchema: KeySchema = { type: 'object', keys: configuration, doc: 'The configuration.' }
