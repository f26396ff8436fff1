/** The timeline of a job, merged from the logs of several hosts. */
import { expect, test } from '@jest/globals'
import { formatTimeline, readTimeline } from './jobTimeline.js'

test('lines of several hosts are merged by time; prefixes and lines that are not log lines are ignored', () => {
  const first = '  12.5 edge-a {"level":30,"time":2000,"host":"edge-a","task":"0123456789abcdef.0.0.1","run":1,"how":"done","msg":"scheduler: a run has ended"}\nnot a line 0123456789abcdef {'
  const second = '{"level":30,"time":1000,"host":"edge-b","method":"POST","path":"/q/0123456789abcdef","status":200,"msg":"callers: a call is answered"}\n{"time":1500,"host":"edge-b","msg":"other job"}'
  const timeline = readTimeline([first, second], '0123456789abcdef')
  expect(timeline.map(line => line.host)).toEqual(['edge-b', 'edge-a'])
  expect(formatTimeline(timeline)).toContain('1.000 s  edge-a  scheduler: a run has ended  task=0123456789abcdef.0.0.1 run=1 how=done')
})
