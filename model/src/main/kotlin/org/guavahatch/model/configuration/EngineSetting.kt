package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * Something that a pool's engines are to be set to by orders.
 *
 * @property name what is set: `model`, `adapter`, `version` or `role`
 * @property value what it is set to
 */
@Serializable
public data class EngineSetting(public val name: String, public val value: String)
