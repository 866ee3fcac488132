// Package fairshare orders waiting jobs by weighted max-min fairness of the dominant resource between teams, and by urgency and age within a team.
package fairshare
