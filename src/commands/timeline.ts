import { Command, Option } from 'clipanion'
import { writeFileSync } from 'node:fs'
import { buildTimelinePage } from '../observe/timeline/build-timeline-page.js'
import { filterRelatedEvents } from '../observe/filter-related-events.js'
import { mergeTimelines } from '../observe/timeline/merge-timelines.js'
import { showTimeline } from '../observe/timeline/show-timeline.js'
import type { TimelineEvent } from '../observe/timeline/timeline-event.js'
import { askMembers } from './ask-members.js'
import { EntryCommand } from './entry-command.js'

/** Shows the events of all daemons in causal order, optionally of one request or one job. */
export class TimelineCommand extends EntryCommand {
  static override paths = [['timeline']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'show events of all daemons in causal order',
    details: 'With --request or --job, includes concurrent events of servers and daemons. Each daemon keeps its newest 20,000 events in memory; they are lost when it ends. Exit codes: 0 shown; 1 refused; 2 wrong usage; 3 no daemon answered.',
    examples: [
      ['Events of one request', 'citronwheel timeline --request 79d05a4e --entry http://10.0.0.1:8080 --token TOKEN'],
      ['Events of one job, as a page', 'citronwheel timeline --job batch-2091 --html job.html --entry http://10.0.0.1:8080 --token TOKEN']
    ]
  })

  request = Option.String('--request', { description: 'only events of this request id' })
  job = Option.String('--job', { description: 'only events of this job' })
  html = Option.String('--html', { description: 'write a self-contained HTML page to this file' })

  async execute (): Promise<number> {
    const query = new URLSearchParams({ around: 'yes' })
    const isWhole = this.request === undefined && this.job === undefined
    if (this.request !== undefined) query.set('request', this.request)
    if (this.job !== undefined) query.set('job', this.job)
    const answer = await askMembers<{ events: TimelineEvent[] }>(this.client(), `/operator/timeline?${query}`, url => this.client(url))
    const merged = answer.map(({ answers, silent }) => {
      const events = mergeTimelines(answers.map(({ events }) => events))
      return { events: isWhole ? events : filterRelatedEvents(events), silent }
    })
    if (merged.ok && this.html !== undefined) writeFileSync(this.html, buildTimelinePage(this.request ?? this.job ?? 'time line', merged.val.events))
    return this.show(merged, ({ events, silent }) => [
      ...events.length === 0 ? ['no events found on the daemons that answered'] : [showTimeline(events)],
      ...silent.map(name => `events of ${name} are missing: it does not answer`)
    ].join('\n'))
  }
}
