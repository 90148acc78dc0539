const SAMPLE = /^citronwheel_(\w+?)(?:\{(.*)\})? (\S+)$/

/** One sample of a daemon's /metrics. */
interface Sample { readonly name: string, readonly labels: string, readonly value: number }

/** Reads and parses a daemon's /metrics. */
export async function readMetrics (url: string): Promise<readonly Sample[]> {
  const text = await (await fetch(`${url}/metrics`)).text()
  return text.split('\n').flatMap(line => {
    const match = SAMPLE.exec(line)
    return match === null ? [] : [{ name: match[1]!, labels: match[2] ?? '', value: Number(match[3]) }]
  })
}
