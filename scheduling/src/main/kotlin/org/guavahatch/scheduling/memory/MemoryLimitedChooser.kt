package org.guavahatch.scheduling.memory

import org.guavahatch.scheduling.direct.EndpointChooser
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.WaitingRequest

/**
 * Chooses among the endpoints that have memory for a request.
 *
 * @property chooser makes the choice
 * @property reservation keeps an endpoint free for a large request, or null
 * @property capacityTokens returns the tokens that one engine of the pool can hold, or null without a limit
 */
public class MemoryLimitedChooser(
    private val chooser: EndpointChooser,
    private val reservation: OversizedReservation? = null,
    private val capacityTokens: () -> Long?,
) : EndpointChooser {
    override fun choose(
        request: WaitingRequest,
        candidates: Collection<EndpointState>,
        now: Long,
        isAllowed: (EndpointState) -> Boolean,
    ): EndpointState? {
        val memory = EngineMemory(capacityTokens() ?: return chooser.choose(request, candidates, now, isAllowed))
        return chooser.choose(request, candidates, now) {
            isAllowed(it) && memory.admits(request, it) && reservation?.admits(request, it) != false
        }
    }
}
