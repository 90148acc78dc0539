import type { Seed } from './seed.js'

/** The daemon's own settings, read once at start. Times are in ms, sizes in bytes. */
export interface Settings {
  /** Name of this instance, unique in the fleet. */
  readonly instance: string
  readonly failureDomain: string
  readonly region: string
  readonly listen: {
    readonly host: string
    /** Port for callers and operators; 0 lets the system choose. */
    readonly port: number
    /** Port for the other daemons; 0 lets the system choose. */
    readonly peerPort: number
  }
  /** Address at which callers and other daemons reach this instance; `listen.host` where it is left out. */
  readonly address?: string
  /** Base address of the platform's object API. */
  readonly platform: string
  /** Secret shared by the daemons, which proves a peer. */
  readonly peerKey: string
  /** Token that operators present. */
  readonly operatorToken: string
  /** Folder for bulk data on instances that have a disk. */
  readonly dataFolder?: string
  /** How batch work shares servers with online requests; `preempting` where it is left out. */
  readonly batchPolicy?: {
    readonly type: 'none' | 'forward' | 'static' | 'load reports' | 'preempting'
    /** Batch streams a server for the type `static`. */
    readonly streams?: number
    /** Whether batch items with long prompts are paced for the type `preempting`. */
    readonly longPrompts?: 'paced' | 'at once'
  }
  /** Other daemons to ask when this one starts while the platform is out. */
  readonly seeds?: readonly Seed[]
  readonly log: { readonly level: 'error' | 'warn' | 'info' | 'debug', readonly format: 'text' | 'json' }
}
