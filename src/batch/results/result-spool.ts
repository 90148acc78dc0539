import { appendFileSync, mkdirSync, readFileSync, rmSync, truncateSync } from 'node:fs'
import { join } from 'node:path'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import { pauseFor } from '../../kernel/pause-for.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import type { LogSink } from '../../observe/log-sink.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { Chunk } from '../chunks/chunk.js'
import { ChunkSource } from '../chunks/chunk-source.js'
import { decodeSpool } from './decode-spool.js'
import { encodeSpoolLine } from './encode-spool-line.js'
import { HoldingRecord } from '../chunks/holding-record.js'
import { recordEntries } from './record-entries.js'
import type { SpoolEntry } from './spool-entry.js'
import { updateObject } from '../update-object.js'

/** ms between checks for unsaved results, and between attempts to record spooled ones. */
const PERIOD = 2_000
/** ms after which an unsaved result is spooled. Results are stored within 5 s unless the platform is unavailable. */
const SPOOL_DELAY = 8_000
const FILE = 'batch-results.spool'

/**
 * Writes results to disk, where the instance has one, while the platform is unavailable. Otherwise a daemon that is
 * replaced during an outage would lose them, and their items would run again; with the file, its next process records
 * them. The first recorded result wins, so a file that is read late, or twice, does no harm.
 */
@scoped(Lifecycle.ContainerScoped)
export class ResultSpool implements Part {
  private readonly file: string | undefined
  private readonly firstSeen = new Map<string, number>()
  private readonly spooled = new Set<string>()
  private cancelTimer = (): void => {}

  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(HoldingRecord) private readonly holding: HoldingRecord,
    @inject(ChunkSource) private readonly source: ChunkSource
  ) {
    if (settings.dataFolder === undefined) return
    mkdirSync(settings.dataFolder, { recursive: true })
    this.file = join(settings.dataFolder, FILE)
  }

  async start (): Promise<void> {
    if (this.file === undefined) return
    const { entries, torn } = decodeSpool(readText(this.file))
    if (torn > 0) this.log.write('warn', 'batch', 'skipped invalid lines of the spool file', { lines: torn })
    void this.recover(entries)
  }

  async stop (): Promise<void> {
    this.cancelTimer()
  }

  /** Records the results that the previous process left, retrying until all are stored, and only then starts to spool. */
  private async recover (entries: readonly SpoolEntry[]): Promise<void> {
    for (const entry of entries) while (!await this.record(entry)) await this.wait()
    if (entries.length > 0) this.log.write('info', 'batch', 'recorded results from the spool file', { results: entries.length })
    rmSync(this.file!, { force: true })
    this.cancelTimer = this.clock.every(PERIOD, () => this.save())
  }

  private async record ({ chunk: name, items, item, result }: SpoolEntry): Promise<boolean> {
    const written = await updateObject<Chunk>(this.store, 'chunk', name, {
      change: chunk => recordEntries(chunk, [{ type: 'result', item, result }], { items, by: this.holding.incarnation })
    })
    return written.ok || written.val.type === 'missing'
  }

  private save (): void {
    const now = this.clock.now()
    const waiting = this.source.listUnsaved()
    const names = new Set(waiting.map(formatName))
    for (const name of this.firstSeen.keys()) if (!names.has(name)) this.firstSeen.delete(name)
    for (const entry of waiting) {
      const name = formatName(entry)
      if (!this.firstSeen.has(name)) this.firstSeen.set(name, now)
      if (this.spooled.has(name) || now - this.firstSeen.get(name)! < SPOOL_DELAY) continue
      appendFileSync(this.file!, encodeSpoolLine(entry))
      this.spooled.add(name)
    }
    if (waiting.length === 0 && this.spooled.size > 0) this.clear()
  }

  private clear (): void {
    truncateSync(this.file!)
    this.spooled.clear()
  }

  private async wait (): Promise<void> {
    await pauseFor(this.clock, PERIOD)
  }
}

function formatName ({ chunk, item }: SpoolEntry): string {
  return `${chunk}/${item}`
}

function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch {
    return ''
  }
}

partRegistry.register({ name: 'result spool', part: ResultSpool, needs: ['chunk source', 'holding record'] })
