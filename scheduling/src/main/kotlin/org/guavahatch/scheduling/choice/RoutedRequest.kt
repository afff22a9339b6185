package org.guavahatch.scheduling.choice

/**
 * What a chooser needs to know of a request.
 *
 * @property rank rank of its tier
 * @property cost estimated cost
 * @property promptCost part of the cost that a cached prompt would save
 */
public data class RoutedRequest(public val rank: Int, public val cost: Double, public val promptCost: Double)
