import { Agent, type Dispatcher } from 'undici'
import { boundAnswer } from './bound-answer.js'

/** An agent whose answers are bounded; see `boundAnswer`. */
export class BoundedAgent extends Agent {
  override dispatch (options: Agent.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(options, boundAnswer(handler))
  }
}
