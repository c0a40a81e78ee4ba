/** Actions of a node as data: the reducer returns them and the node's interpreter carries them out. */
package org.heatherhaven.core.effect;
