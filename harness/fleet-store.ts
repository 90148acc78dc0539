import type { ObjectApi } from '../stand-ins/machines/object-api.js'

/** What a fleet needs of the store, wherever that runs. */
export type FleetStore = Pick<ObjectApi, 'port' | 'start' | 'stop' | 'put' | 'remove'>
