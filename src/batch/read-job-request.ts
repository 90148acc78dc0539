import { Err, Ok, type Result } from 'ts-results'

const WINDOW = /^(\d{1,4})([mh])$/
const MINUTE = 60_000
const HOUR = 3_600_000
const DEFAULT_WINDOW = '24h'

interface JobRequest {
  readonly file: string
  readonly endpoint: string
  /** Time in ms until the job is due. */
  readonly window: number
  readonly metadata?: Readonly<Record<string, string>>
}

/** Parses the body of a request for a job, or returns all errors in it. */
export function readJobRequest (body: Buffer): Result<JobRequest, readonly string[]> {
  const value = readObject(body)
  if (value === undefined) return Err(['the body must be a JSON object'])
  const { input_file_id: file, endpoint, completion_window: requestedWindow = DEFAULT_WINDOW, metadata } = value
  const window = WINDOW.exec(String(requestedWindow))
  const findings = [
    typeof file === 'string' ? '' : 'input_file_id: must be the id of a file',
    typeof endpoint === 'string' ? '' : 'endpoint: must be a path',
    window !== null ? '' : 'completion_window: must be a number of minutes or hours, such as 90m or 24h',
    isMetadata(metadata) ? '' : 'metadata: must be an object of strings'
  ].filter(finding => finding !== '')
  if (findings.length > 0) return Err(findings)
  const length = Number(window![1]) * (window![2] === 'h' ? HOUR : MINUTE)
  return Ok({ file: file as string, endpoint: endpoint as string, window: length, metadata: (metadata ?? undefined) as Readonly<Record<string, string>> | undefined })
}

function readObject (body: Buffer): Readonly<Record<string, unknown>> | undefined {
  try {
    const value = JSON.parse(body.toString())
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? value : undefined
  } catch {
    return undefined
  }
}

function isMetadata (value: unknown): boolean {
  if (value === undefined || value === null) return true
  return typeof value === 'object' && !Array.isArray(value) && Object.values(value).every(entry => typeof entry === 'string')
}
