/** The commands {@code measure} and {@code demo}, which run fleets of nodes and stand-ins in this process. */
package org.heatherhaven.cli.measure;
