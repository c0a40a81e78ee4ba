/** Rate and burst of teams over the whole fleet: tokens are conserved between a share's bucket and its loans. */
package org.heatherhaven.core.logic.quota;
