package org.guavahatch.scheduling.rollout

/**
 * What a set of [EvidenceCounts] is about.
 *
 * @property route name of the route
 * @property isTarget whether the answers came from endpoints of the target version
 */
public data class EvidenceKey(public val route: String, public val isTarget: Boolean)
