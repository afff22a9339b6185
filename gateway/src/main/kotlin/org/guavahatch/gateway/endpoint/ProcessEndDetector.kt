package org.guavahatch.gateway.endpoint

import arrow.core.Either
import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.quarantine.EndpointProcess

/**
 * Tells the end of an endpoint's process from the loss of single connections: a process that has ended accepts no new
 * connection, while one that only closed or reset a connection does.
 */
class ProcessEndDetector(private val connector: EndpointConnector, private val clock: Clock) {
    private val checks = LinkedHashMap<EndpointProcess, Check>()

    /**
     * Checks whether [endpoint] has ended, after a request was lost there, and calls [onEnd] with the reason if so. The
     * requests that are lost together share one check.
     */
    fun onRequestLost(endpoint: ListedEndpoint, onEnd: (reason: String) -> Unit) {
        val process = EndpointProcess(endpoint.id, endpoint.incarnation)
        val now = clock.monotonicMilliseconds()
        checks.values.removeIf { now - it.startedAt > CHECK_VALIDITY_MILLISECONDS }
        val existing = checks[process]
        if (existing != null) return existing.add(onEnd)
        val check = Check(now).also { it.add(onEnd) }
        checks[process] = check
        connector.connect(endpoint.address, maximumIdleMilliseconds = null) { connected ->
            when (connected) {
                is Either.Left -> check.complete(connected.value.reason)
                is Either.Right -> {
                    connected.value.releaseUnused()
                    checks.remove(process, check)
                }
            }
        }
    }

    private class Check(val startedAt: Long) {
        private val waiting = ArrayList<(String) -> Unit>()
        private var reason: String? = null

        fun add(onEnd: (String) -> Unit) {
            reason?.let(onEnd) ?: waiting.add(onEnd)
        }

        fun complete(failure: String) {
            reason = failure
            waiting.forEach { it(failure) }
            waiting.clear()
        }
    }

    private companion object {
        /** The connections to a process that ended are reported closed within some tens of milliseconds. */
        const val CHECK_VALIDITY_MILLISECONDS = 1_000L
    }
}
