package org.guavahatch.gateway.request

import org.guavahatch.gateway.observation.LogLine

/**
 * Identifies one send of a request in the log.
 *
 * @property send number of the send of its request, from 1
 * @property connection number of the connection within this process
 * @property sentAt monotonic time of the send in milliseconds
 */
internal class AttemptTrace(val send: Int, val connection: Long, val sentAt: Long)

/** Adds the send of [trace], and its age at [now] in milliseconds; nothing if the request was not sent. */
internal fun LogLine.putTrace(trace: AttemptTrace?, now: Long) {
    if (trace == null) return
    put("send", trace.send)
    put("connection", trace.connection)
    put("since-send", now - trace.sentAt)
}
