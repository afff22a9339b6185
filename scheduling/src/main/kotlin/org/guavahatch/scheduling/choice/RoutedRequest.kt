package org.guavahatch.scheduling.choice

/**
 * Properties of a request that an [EndpointChooser] uses.
 *
 * @property rank rank of the tier of the request
 * @property cost estimated cost of the request
 * @property promptCost part of [cost] that is saved if the whole prompt is cached
 */
public data class RoutedRequest(public val rank: Int, public val cost: Double, public val promptCost: Double)
