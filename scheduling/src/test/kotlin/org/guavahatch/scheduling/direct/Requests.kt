package org.guavahatch.scheduling.direct

import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId

/** Creates a waiting request with typical values; times are monotonic milliseconds, some relative to the arrival. */
internal fun waitingRequest(
    sequence: Long,
    rank: Int = 0,
    arrivedAt: Long = 0,
    target: Long = 500,
    patience: Long = 2_000,
    promptTokens: Long = 1_000,
    outputTokens: Long = 50,
    firstEvent: Long = 100,
) = WaitingRequest(
    sequence = sequence,
    rank = rank,
    routeRank = rank,
    arrivedAt = arrivedAt,
    objectiveEndsAt = arrivedAt + target,
    deadline = arrivedAt + 3 * patience,
    patienceEndsAt = arrivedAt + patience,
    promptTokens = promptTokens,
    outputTokens = outputTokens,
    firstEventMilliseconds = firstEvent,
)

/** Creates an endpoint with eight slots by default. */
internal fun endpointState(name: String, zone: String = "a", slots: Int = 8) =
    EndpointState(ListedEndpoint(EndpointId(name), 1, "pool", "127.0.0.1:1", zone, slots, isLeaving = false))
