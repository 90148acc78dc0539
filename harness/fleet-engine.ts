import type { EventEngine } from '../stand-ins/machines/event-engine.js'

/** What a fleet needs of an engine, wherever that runs. */
export type FleetEngine = Pick<EventEngine, 'id' | 'version' | 'port' | 'startedAt' | 'start' | 'stop'>
