package org.guavahatch.gateway.request

import org.guavahatch.gateway.control.TrackedRollout
import org.guavahatch.scheduling.direct.EndpointChooser
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

    /**
     * Chooses the endpoint for [request] of [route] with [chooser]. While the target version is due for the route, its
     * endpoints are tried first, since a slow version would get too few requests otherwise to be judged. A request that
     * avoids an endpoint chooses among all.
     */
    fun choose(chooser: EndpointChooser, request: WaitingRequest, route: String, now: Long): EndpointState? {
        val rollout = tracked?.rollout ?: return chooser.choose(request, endpoints, now)
        val candidates = of(route)
        val isTargetDue = request.avoidedEndpoints.isEmpty() && rollout.isTargetDue(route)
        val preferred = if (isTargetDue) candidates.filter { rollout.isTarget(it.listed) } else emptyList()
        val first = if (preferred.isEmpty()) null else chooser.choose(request, preferred, now)
        return first ?: chooser.choose(request, candidates, now)
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
