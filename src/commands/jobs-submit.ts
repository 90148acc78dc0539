import { Command, Option } from 'clipanion'
import { openAsBlob } from 'node:fs'
import { basename } from 'node:path'
import { EntryCommand } from './entry-command.js'
import { exitCodes } from './exit-codes.js'
import type { ShownJob } from './shown-job.js'
import { uploadFile } from './upload-file.js'
import { formatJob } from './format-job.js'

/** Uploads a batch file and submits a job for it. Idempotent for the same file and key. */
export class JobsSubmitCommand extends EntryCommand {
  static override paths = [['jobs', 'submit']]
  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'upload a batch file and submit it as a job',
    details: 'The file has one item per line with custom_id, method, url and body, in the format of OpenAI batches. Submitting again with the same key, or without a key the same file, returns the same job. Exit codes: 0 accepted; 1 refused, nothing accepted; 2 wrong usage, or the file can\'t be read; 3 no daemon answered, retry.',
    examples: [['Submit the week\'s items, due in six hours', 'citronwheel jobs submit items.jsonl --window 6h --entry http://10.0.0.1:8080 --token TOKEN']]
  })

  file = Option.String({ name: 'file' })
  window = Option.String('--window', '24h', { description: 'time until it is due, in minutes or hours, such as 90m or 24h' })
  key = Option.String('--key', { description: 'idempotency key: the same key returns the same job' })
  endpoint = Option.String('--endpoint', '/v1/chat/completions', { description: 'request path of the items' })

  async execute (): Promise<number> {
    const blob = await openFile(this.file)
    if (blob instanceof Error) {
      this.context.stderr.write(`file: ${blob.message}\n`)
      return exitCodes.usage
    }
    const file = await uploadFile({ url: this.entry, token: this.token, name: basename(this.file), blob })
    if (file.err) return this.showError(file.val)
    const body = { input_file_id: file.val.id, endpoint: this.endpoint, completion_window: this.window }
    const headers: Record<string, string> = this.key === undefined ? {} : { 'idempotency-key': this.key }
    return this.show(await this.client().call<ShownJob>('POST', '/v1/batches', body, headers), formatJob)
  }
}

async function openFile (path: string): Promise<Blob | Error> {
  try {
    return await openAsBlob(path)
  } catch (error) {
    return error as Error
  }
}
