import type { Seed } from './seed.js'

/** Settings of one daemon, read once at start. Times in ms, sizes in bytes. */
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
  /** Address at which callers and other daemons reach this instance; defaults to `listen.host`. */
  readonly address?: string
  /** Base URL of the platform's object API. */
  readonly platform: string
  /** Secret shared by the daemons, which authenticates a peer. */
  readonly peerKey: string
  /** Token that operators present. */
  readonly operatorToken: string
  /** Processor time that this daemon may use, in cores; daemons with much of it decide for others. */
  readonly cores?: number
  /** Memory that this daemon may use, MB; a share of it is for what callers send and don't read. */
  readonly memory?: number
  /** Files and connections that this daemon may have open. */
  readonly descriptors?: number
  /** Directory for bulk data on instances that have a disk. */
  readonly dataFolder?: string
  /** How batch work shares servers with online requests; defaults to `preempting`. */
  readonly batchPolicy?: {
    readonly type: 'none' | 'forward' | 'static' | 'load reports' | 'preempting'
    /** Batch streams per server for the type `static`. */
    readonly streams?: number
    /** Whether batch items with long prompts are paced for the type `preempting`. */
    readonly longPrompts?: 'paced' | 'at once'
  }
  /** Daemons to contact when this one starts while the platform is unavailable. */
  readonly seeds?: readonly Seed[]
  readonly log: { readonly level: 'error' | 'warn' | 'info' | 'debug', readonly format: 'text' | 'json' }
}
