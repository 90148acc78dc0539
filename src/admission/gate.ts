import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Result } from 'ts-results'
import { Dispatcher } from '../routing/dispatcher.js'
import type { ServerAnswer } from '../routing/server-answer.js'
import type { ServerRequest } from '../routing/server-request.js'
import type { Refusal } from './refusal.js'

/** Lets online requests in, each caller within its share, and sends them on; the rest get their refusal at once. */
@scoped(Lifecycle.ContainerScoped)
export class Gate {
  constructor (@inject(Dispatcher) private readonly dispatcher: Dispatcher) {}

  async send (request: ServerRequest): Promise<Result<ServerAnswer, Refusal>> {
    return await this.dispatcher.send(request)
  }
}
