import { Random } from '../../src/kernel/random.js'
import { addMark } from './add-mark.js'
import { createAnswerWords } from './create-answer-words.js'
import { Batcher } from './batcher.js'
import { CacheEvents } from './cache-events.js'
import type { Completion } from './completion.js'
import { defaultParameters } from './default-parameters.js'
import { encodeKvHandle } from './encode-kv-handle.js'
import type { EngineParameters } from './engine-parameters.js'
import { hashBlocks } from './hash-blocks.js'
import { EngineState } from './engine-state.js'
import { PrefixCache } from './prefix-cache.js'
import { RunFile } from './run-file.js'
import type { RunRecord } from './run-record.js'
import type { Sequence } from './sequence.js'
import { StepLoop } from './step-loop.js'
import type { TokenWriter } from './token-writer.js'

const CHARACTERS_PER_TOKEN = 4

/** A run; `cancel` has no effect once it has ended. */
interface Run { readonly cancel: () => void }

/** The stand-in engine without HTTP: completions with continuous batching, load reports, orders, and a log of runs. */
export class EngineModel {
  readonly log: RunRecord[] = []
  readonly parameters: EngineParameters
  readonly random: Random
  readonly state: EngineState
  readonly cacheEvents: CacheEvents
  readonly loop: StepLoop
  /** The last load report, up to `loadLag` ms old. */
  report = { running: 0, waiting: 0 }
  private readonly batcher: Batcher
  private readonly active = new Map<string, { readonly prompt: string, readonly sequence: Sequence }>()
  private readonly runFile: RunFile
  private readonly reporter: NodeJS.Timeout

  constructor (parameters: Partial<EngineParameters> = {}) {
    this.parameters = { ...defaultParameters, ...parameters }
    this.random = new Random(this.parameters.seed)
    this.state = new EngineState(this.parameters)
    this.cacheEvents = new CacheEvents(this.parameters.cacheEventLag, this.parameters.cacheEventGaps, this.random)
    this.batcher = new Batcher(this.parameters, new PrefixCache(({ type, block }) => this.cacheEvents.record(type, block, Date.now())))
    this.loop = new StepLoop(this.batcher)
    this.runFile = new RunFile(this.parameters.runFile)
    this.reporter = setInterval(() => {
      this.report = { running: this.batcher.running.length, waiting: this.batcher.waiting.length }
    }, this.parameters.loadLag)
  }

  close (): void {
    clearInterval(this.reporter)
  }

  /** Lists the words of the whole answer without marks, including those resumed from. */
  listWords ({ prompt, tokens }: Completion): readonly string[] {
    return createAnswerWords(prompt, tokens)
  }

  /** Starts and logs a run. A resumed run with no words left repeats the last one. */
  start (completion: Completion, requestId: string, body: string, write: TokenWriter): Run {
    const record: RunRecord = { requestId, at: Date.now(), body, outcome: 'running', tokens: 0 }
    this.log.push(record)
    const run = this.parameters.runMark === undefined ? undefined : `${this.parameters.runMark}/${this.log.length}`
    this.runFile.recordStart(requestId, run, completion.resumeFrom)
    const sequence = this.createSequence(completion, requestId, (word, last) => {
      record.firstTokenAt ??= Date.now()
      record.tokens!++
      if (last) this.end(record, run, 'finished')
      write(addMark(word, run), last)
    })
    this.active.set(requestId, { prompt: completion.prompt, sequence })
    this.batcher.add(sequence)
    this.loop.wake()
    return {
      cancel: () => {
        sequence.cancelled = true
        if (record.outcome === 'running') this.end(record, run, 'cancelled')
      }
    }
  }

  /** Exports the KV cache of a running request; undefined if it isn't running. */
  exportKv (requestId: string): { readonly handle: string, readonly tokens: number } | undefined {
    const run = this.active.get(requestId)
    if (run === undefined) return undefined
    const tokens = run.sequence.done
    return { handle: encodeKvHandle(run.prompt, tokens), tokens }
  }

  private createSequence ({ prompt, tokens, resumeFrom, kv }: Completion, id: string, onToken: TokenWriter): Sequence {
    const words = createAnswerWords(prompt, tokens)
    const done = Math.min(resumeFrom.length, words.length - 1)
    const promptTokens = splitPrompt(prompt)
    const contextTokens = promptTokens.length + done
    return {
      id,
      contextTokens,
      blocks: hashBlocks([...promptTokens, ...words], this.parameters.blockTokens),
      imported: kv === encodeKvHandle(prompt, resumeFrom.length),
      words,
      resumed: done,
      done,
      prefillLeft: contextTokens,
      prefilled: 0,
      cancelled: false,
      onToken
    }
  }

  private end (record: RunRecord, run: string | undefined, outcome: 'finished' | 'cancelled'): void {
    this.runFile.recordEnd(run, outcome)
    record.outcome = outcome
    record.endedAt = Date.now()
    this.active.delete(record.requestId)
  }
}

function splitPrompt (prompt: string): readonly string[] {
  return Array.from({ length: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) }, (_, i) => {
    return prompt.slice(i * CHARACTERS_PER_TOKEN, (i + 1) * CHARACTERS_PER_TOKEN)
  })
}
