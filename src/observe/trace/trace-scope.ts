/** The servers and instances that a trace involves. */
export interface TraceScope {
  readonly servers: ReadonlySet<string>
  /** Parts of prompts for which its requests were refused. */
  readonly blamed: ReadonlySet<string>
  /** Times of the lines of the trace by instance, in order, in ms since 1970 by the clocks of the instances that wrote the lines. */
  readonly timesByInstance: ReadonlyMap<string, readonly number[]>
}
