package org.guavahatch.gateway.request

import org.guavahatch.gateway.control.TrackedRollout
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.WaitingRequest

/**
 * The endpoints of a pool to which a rollout allows sends now; all if there is none. Valid for one dispatch.
 *
 * @property tracked the rollout of the pool, or null
 */
internal class RolloutCandidates(
    private val tracked: TrackedRollout?,
    private val endpoints: Collection<EndpointState>,
) {
    private val candidatesByRoute = HashMap<String, List<EndpointState>>()

    /** The endpoints that requests of no particular route may use: the capacity that counts. */
    val serving: Collection<EndpointState> get() = of(NO_ROUTE)

    /** All endpoints of the pool. */
    val all: Collection<EndpointState> get() = endpoints

    /** Whether a rollout limits the sends. */
    val isLimited: Boolean get() = tracked != null

    /**
     * Lets [choose] choose for [request] of [route]. While the target version is due for the route, its endpoints are
     * offered first, to [chooseTarget], since a slow version would get too few requests otherwise to be judged. A
     * request that avoids an endpoint chooses among all.
     */
    fun <T : Any> choose(
        request: WaitingRequest,
        route: String,
        chooseTarget: (Collection<EndpointState>) -> T?,
        choose: (Collection<EndpointState>) -> T?,
    ): T? {
        val rollout = tracked?.rollout ?: return choose(endpoints)
        val candidates = of(route)
        val isTargetDue = request.avoidedEndpoints.isEmpty() && rollout.isTargetDue(route)
        val preferred = if (isTargetDue) candidates.filter { rollout.isTarget(it.listed) } else emptyList()
        val first = if (preferred.isEmpty()) null else chooseTarget(preferred)
        return first ?: choose(candidates)
    }

    private fun of(route: String): Collection<EndpointState> {
        val limit = tracked ?: return endpoints
        return candidatesByRoute.getOrPut(route) { endpoints.filter { limit.mayUse(route, it.listed) } }
    }

    private companion object {
        /** Not the name of a route. */
        const val NO_ROUTE = ""
    }
}
