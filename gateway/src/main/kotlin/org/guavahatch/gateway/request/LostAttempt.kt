package org.guavahatch.gateway.request

/**
 * What an attempt had received when its endpoint was lost.
 *
 * @property events events of the stream, 0 for other responses
 * @property milliseconds time since the attempt began
 * @property isAnswering whether the endpoint has sent events for some time, so that the request cannot have ended it
 */
internal class LostAttempt(val events: Int, val milliseconds: Long, val isAnswering: Boolean)
