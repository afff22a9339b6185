package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable

/**
 * A setting that is applied to the engines of a pool.
 *
 * @property name name of the setting: `model`, `adapter`, `version` or `role`
 * @property value desired value
 */
@Serializable
public data class EngineSetting(public val name: String, public val value: String)
